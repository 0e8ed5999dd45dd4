#include "report.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <numeric>
#include <set>

namespace camphorpoint::bench {

namespace {

struct spread {
    double mean = 0;
    double half_range = 0;
};

spread spread_of(policy_runs const& runs, std::string const& name) {
    std::vector<double> values;
    for (run_result const& each : runs.runs) {
        values.push_back(value_of(each, name));
    }
    auto const [least, most] = std::ranges::minmax(values);
    double const sum = std::accumulate(values.begin(), values.end(), 0.0);
    return {sum / static_cast<double>(values.size()), (most - least) / 2};
}

/// Figures in the order of their first appearance in any run; not every run
/// has every reason of refusal.
std::vector<figure> figure_names(std::vector<policy_runs> const& all) {
    std::vector<figure> result;
    std::set<std::string> seen;
    for (policy_runs const& runs : all) {
        for (run_result const& run : runs.runs) {
            for (figure const& each : run.figures) {
                if (seen.insert(each.name).second) {
                    result.push_back(each);
                }
            }
        }
    }
    return result;
}

boost::json::object to_json(run_result const& run) {
    boost::json::object figures;
    for (figure const& each : run.figures) {
        figures[each.name] = each.value;
    }
    boost::json::array stalls;
    boost::json::array fullness;
    for (second_sample const& each : run.series) {
        stalls.push_back(each.mean_stall_ms);
        fullness.push_back(each.batch_fullness);
    }
    return {
        {"preset", run.preset},
        {"policy", run.policy},
        {"fault", run.fault},
        {"seed", run.seed},
        {"figures", figures},
        {"mean stall by second, ms", stalls},
        {"batch fullness by second", fullness},
    };
}

/// Mean over the seeds of one second's value.
template <class Get>
double mean_at(policy_runs const& runs, std::size_t second, Get get) {
    double sum = 0;
    for (run_result const& each : runs.runs) {
        sum += get(each.series[second]);
    }
    return sum / static_cast<double>(runs.runs.size());
}

struct picture {
    std::string path;
    std::string title;
    std::string axis;
    double (*get)(second_sample const&);
};

std::string
gnuplot_script(picture const& what, std::vector<policy_runs> const& all) {
    std::string script = fmt::format(
        "set terminal svg size 900,420 dynamic\nset output '{}'\n"
        "set title '{}'\nset xlabel 'virtual time after warm-up, s'\n"
        "set ylabel '{}'\nset key outside\nset grid\n",
        what.path, what.title, what.axis);
    std::string data;
    std::string lines;
    for (policy_runs const& runs : all) {
        lines += fmt::format(
            "{}'-' using 1:2 with lines title '{}'",
            lines.empty() ? "plot " : ", ", runs.policy);
        for (std::size_t at = 0; at < runs.runs.front().series.size(); ++at) {
            data += fmt::format("{} {}\n", at, mean_at(runs, at, what.get));
        }
        data += "e\n";
    }
    return script + lines + "\n" + data;
}

bool run_gnuplot(std::string const& script) {
    std::FILE* const pipe = popen("gnuplot", "w");
    if (pipe == nullptr) {
        return false;
    }
    std::fwrite(script.data(), 1, script.size(), pipe);
    return pclose(pipe) == 0;
}

} // namespace

void print_table(std::vector<policy_runs> const& all) {
    fmt::print("{:<28}", "");
    for (policy_runs const& runs : all) {
        fmt::print("{:>19}", runs.policy);
    }
    fmt::print("\n");
    for (figure const& each : figure_names(all)) {
        fmt::print(
            "{:<28}", each.name + (each.unit.empty() ? "" : ", ") + each.unit);
        for (policy_runs const& runs : all) {
            spread const value = spread_of(runs, each.name);
            std::string const cell =
                runs.runs.size() == 1
                    ? fmt::format("{:.2f}", value.mean)
                    : fmt::format(
                          "{:.2f} ±{:.2f}", value.mean, value.half_range);
            fmt::print("{:>19}", cell);
        }
        fmt::print("\n");
    }
}

void print_bounds(std::vector<bounds> const& all) {
    using milliseconds = std::chrono::duration<double, std::milli>;
    for (bounds const& each : all) {
        fmt::print(
            "bounds: mean stall >= {:.2f} ms, batch efficiency <= {:.2f}%; "
            "popularity reference: mean stall {:.2f} ms\n",
            milliseconds(each.mean_stall).count(), 100 * each.batch_efficiency,
            milliseconds(each.popularity_stall).count());
    }
}

bool write_json(std::string const& path, std::vector<policy_runs> const& all) {
    boost::json::array list;
    for (policy_runs const& runs : all) {
        for (run_result const& run : runs.runs) {
            list.push_back(to_json(run));
        }
    }
    std::ofstream file(path);
    file << boost::json::serialize(list) << "\n";
    return file.good();
}

bool write_plots(std::string const& stem, std::vector<policy_runs> const& all) {
    picture const stalls{
        stem + ".stalls.svg", "Load stall of requests by arrival",
        "mean stall, ms", [](second_sample const& each) {
            return each.mean_stall_ms;
        }};
    picture const batch{
        stem + ".batch.svg", "Filled part of the batch",
        "sequences / batch limit", [](second_sample const& each) {
            return each.batch_fullness;
        }};
    return run_gnuplot(gnuplot_script(stalls, all)) &&
           run_gnuplot(gnuplot_script(batch, all));
}

} // namespace camphorpoint::bench
