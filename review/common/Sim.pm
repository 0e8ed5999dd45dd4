# A small world for the scripts of this review: the platform's store, replicas,
# consumers and nodes under test, in one process with one event loop. It needs
# Perl's base modules only.
package Sim;
use strict;
use warnings;
use Errno qw(EAGAIN EWOULDBLOCK EINPROGRESS EINTR);
use Fcntl;
use IO::Socket::INET;
use POSIX ();
use Socket;

# clock_gettime has another number on other processors.
my $clock_gettime = (POSIX::uname())[4] =~ /aarch64|arm64|riscv64/ ? 113 : 228;

# Seconds of the monotonic clock.
sub now {
    my $buffer = "\0" x 16;
    my $monotonic = 1;
    syscall($clock_gettime, $monotonic, $buffer);
    my ($s, $ns) = unpack('qq', $buffer);
    return $s + $ns / 1e9;
}

sub new {
    my ($class, %of) = @_;
    my $self = bless {
        links => {}, listeners => {}, timers => [], nodes => {},
        record => [], started => now(), folder => $of{folder},
        work => $of{work}, program => $of{program}, ports => [], order => 0,
    }, $class;
    $SIG{PIPE} = 'IGNORE';
    return $self;
}

sub record {
    my ($self, $text) = @_;
    push @{$self->{record}}, sprintf('%8.3f  %s', now() - $self->{started}, $text);
}

sub write_record {
    my ($self) = @_;
    open my $out, '>', "$self->{folder}/record.txt" or die "record.txt: $!";
    print $out "$_\n" for @{$self->{record}};
    close $out;
}

# An address of the loopback network with a free port. The port is kept bound
# until all are drawn, so that none is given twice.
sub free_port {
    my ($self) = @_;
    my $probe = IO::Socket::INET->new(
        LocalAddr => '127.0.0.1', LocalPort => 0, Proto => 'tcp', Listen => 1,
        ReuseAddr => 1) or die "port: $!";
    push @{$self->{ports}}, $probe;
    return $probe->sockport;
}
sub release_ports { $_[0]{ports} = [] }

sub after {
    my ($self, $seconds, $do) = @_;
    push @{$self->{timers}}, [now() + $seconds, ++$self->{order}, $do];
}

sub listen_on {
    my ($self, $port, $accept) = @_;
    my $socket = IO::Socket::INET->new(
        LocalAddr => '127.0.0.1', LocalPort => $port, Proto => 'tcp',
        Listen => 512, ReuseAddr => 1) or die "listen $port: $!";
    $socket->blocking(0);
    $self->{listeners}{fileno $socket} = [$socket, $accept];
    return $socket;
}

# A connection: {in, out, on_data, on_end}. on_data gets the connection when
# bytes have arrived, on_end when the other side has closed or reset it.
sub add_link {
    my ($self, $socket, %of) = @_;
    $socket->blocking(0);
    my $link = {socket => $socket, in => '', out => '', open => 1, %of};
    $self->{links}{fileno $socket} = $link;
    return $link;
}

sub connect_to {
    my ($self, $port, %of) = @_;
    socket(my $raw, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
    my $socket = IO::Socket::INET->new_from_fd(fileno($raw), 'r+');
    $socket->blocking(0);
    connect($socket, sockaddr_in($port, inet_aton('127.0.0.1')));
    my $link = $self->add_link($socket, %of);
    $link->{raw} = $raw;
    setsockopt($socket, 6, 1, 1);
    return $link;
}

sub send_bytes {
    my ($self, $link, $bytes) = @_;
    return unless $link->{open};
    $link->{out} .= $bytes;
}

sub close_link {
    my ($self, $link, $reset) = @_;
    return unless $link->{open};
    $link->{open} = 0;
    delete $self->{links}{fileno $link->{socket}};
    setsockopt($link->{socket}, SOL_SOCKET, SO_LINGER, pack('ii', 1, 0)) if $reset;
    close $link->{socket};
    close $link->{raw} if $link->{raw};
}

sub finish_link {    # closes once everything is written
    my ($self, $link) = @_;
    $link->{closing} = 1;
    $self->close_link($link) if $link->{out} eq '';
}

sub ended {
    my ($self, $link, $why) = @_;
    return unless $link->{open};
    my $on_end = $link->{on_end};
    $self->close_link($link);
    $on_end->($link, $why) if $on_end;
}

sub turn {
    my ($self, $longest) = @_;
    my ($read, $write) = ('', '');
    my $until = now() + $longest;
    for my $each (@{$self->{timers}}) { $until = $each->[0] if $each->[0] < $until }
    vec($read, $_, 1) = 1 for keys %{$self->{listeners}};
    for my $fd (keys %{$self->{links}}) {
        my $link = $self->{links}{$fd};
        vec($read, $fd, 1) = 1 unless $link->{deaf};
        vec($write, $fd, 1) = 1 if $link->{out} ne '' && !$link->{mute};
    }
    my $wait = $until - now();
    $wait = 0 if $wait < 0;
    my $count = select($read, $write, undef, $wait);
    if ($count > 0) {
        for my $fd (keys %{$self->{listeners}}) {
            next unless vec($read, $fd, 1);
            my ($socket, $accept) = @{$self->{listeners}{$fd}};
            while (my $new = $socket->accept) {
                setsockopt($new, 6, 1, 1);
                $accept->($new);
            }
        }
        for my $fd (keys %{$self->{links}}) {
            my $link = $self->{links}{$fd} or next;
            if (vec($write, $fd, 1)) {
                my $sent = syswrite($link->{socket}, $link->{out});
                if (defined $sent) { substr($link->{out}, 0, $sent) = '' }
                elsif ($! != EAGAIN && $! != EINTR && $! != EINPROGRESS) {
                    $self->ended($link, 'reset');
                    next;
                }
                if ($link->{closing} && $link->{out} eq '') {
                    $self->close_link($link);
                    next;
                }
            }
            next unless vec($read, $fd, 1) && $link->{open};
            my $got = sysread($link->{socket}, $link->{in}, 65536, length $link->{in});
            if (defined $got && $got > 0) { $link->{on_data}->($link) if $link->{on_data} }
            elsif (defined $got) { $self->ended($link, 'closed') }
            elsif ($! != EAGAIN && $! != EINTR) { $self->ended($link, 'reset') }
        }
    }
    my $now = now();
    my @due = sort { $a->[0] <=> $b->[0] || $a->[1] <=> $b->[1] }
        grep { $_->[0] <= $now } @{$self->{timers}};
    if (@due) {
        $self->{timers} = [grep { $_->[0] > $now } @{$self->{timers}}];
        $_->[2]->() for @due;
    }
}

sub run_for { my ($self, $s) = @_; my $end = now() + $s; $self->turn(0.05) while now() < $end }
# Runs until the condition holds; false when it doesn't in time.
sub run_until {
    my ($self, $s, $done) = @_;
    my $end = now() + $s;
    while (now() < $end) { return 1 if $done->(); $self->turn(0.02) }
    return $done->() ? 1 : 0;
}

# Takes one whole request or answer from the bytes; undef while it is not there.
# An answer without a length is whole when $ended is set.
sub take_message {
    my ($bytes, $ended) = @_;
    my $head_end = index($$bytes, "\r\n\r\n");
    return undef if $head_end < 0;
    my ($first, @lines) = split /\r\n/, substr($$bytes, 0, $head_end);
    my %message = (first => $first, fields => {}, head => substr($$bytes, 0, $head_end));
    for (@lines) {
        my ($name, $value) = split /:\s*/, $_, 2;
        $message{fields}{lc $name} = $value;
    }
    my $rest = substr($$bytes, $head_end + 4);
    my $coding = lc($message{fields}{'transfer-encoding'} // '');
    if ($coding eq 'chunked') {
        my $body = '';
        while (1) {
            return undef unless $rest =~ /^([0-9a-fA-F]+)[^\r]*\r\n/;
            my ($size, $skip) = (hex $1, length $&);
            return undef if length($rest) < $skip + $size + 2;
            $body .= substr($rest, $skip, $size);
            $rest = substr($rest, $skip + $size + 2);
            last if $size == 0;
        }
        $message{body} = $body;
        $$bytes = $rest;
        return \%message;
    }
    my $length = $message{fields}{'content-length'};
    if (!defined $length && $first =~ m{^HTTP/}) {
        return undef unless $ended;
        $length = length $rest;
    }
    $length //= 0;
    return undef if length $rest < $length;
    $message{body} = substr($rest, 0, $length);
    $$bytes = substr($rest, $length);
    return \%message;
}

sub answer_bytes {
    my ($status, $fields, $body) = @_;
    my $text = "HTTP/1.1 $status X\r\n";
    $text .= "$_: $fields->{$_}\r\n" for sort keys %$fields;
    return $text . "Content-Length: " . length($body) . "\r\n\r\n$body";
}

# --- the platform's store -------------------------------------------------

sub start_store {
    my ($self, $port) = @_;
    my $store = {topics => {}, groups => {}, calls => 0};
    $self->{store} = $store;
    $self->listen_on($port, sub {
        my ($socket) = @_;
        $self->add_link($socket, on_data => sub {
            my ($link) = @_;
            while (my $request = take_message(\$link->{in})) {
                ++$store->{calls};
                next if now() < ($store->{silent} // 0);    # says nothing
                $self->store_call($link, $request);
            }
        });
    });
    return $store;
}

sub put {
    my ($self, $topic, $key, $value) = @_;
    push @{$self->{store}{topics}{"$topic/0"}{records}}, [$key, $value];
    $_->() for splice @{$self->{store}{topics}{"$topic/0"}{waiting} // []};
}

sub store_call {
    my ($self, $link, $request) = @_;
    my ($method, $target) = split / /, $request->{first};
    my ($path, $query) = split /\?/, $target, 2;
    my %asked = map { my ($n, $v) = split /=/, $_, 2; ($n, $v) } split /&/, $query // '';
    my $reply = sub {
        my ($status, $body) = @_;
        $self->after(0.004, sub {
            $self->send_bytes($link, answer_bytes($status, {'Content-Type' => 'application/json'}, $body));
        });
    };
    my $part = $asked{part} // 0;
    my $log = $self->{store}{topics}{($asked{topic} // '') . "/$part"} //= {records => [], waiting => []};
    if ($path eq '/log-newest') {
        my (%newest, %offset);
        my $at = 0;
        for (@{$log->{records}}) { $newest{$_->[0]} = $_->[1]; $offset{$_->[0]} = $at++ }
        my @items = map {
            my $b64 = encode64($newest{$_});
            qq({"key":"$_","value":"$b64","offset":$offset{$_}})
        } sort grep { defined $newest{$_} } keys %newest;
        return $reply->(200, '{"items":[' . join(',', @items) . '],"more_pages":false,"end":' . scalar(@{$log->{records}}) . '}');
    }
    if ($path eq '/log-read') {
        my $from = $asked{from} // 0;
        my $done = 0;
        my $answer = sub {
            return if $done++;
            my @all = @{$log->{records}};
            my $body = pack('Q>Q>', scalar @all, 0);
            for (@all[$from .. $#all]) {
                my $bytes = pack('C', length $_->[0]) . $_->[0] . ($_->[1] // '');
                $body .= pack('N', length $bytes) . $bytes;
            }
            $reply->(200, $body);
        };
        return $answer->() if @{$log->{records}} > $from || !($asked{wait_ms} // 0);
        push @{$log->{waiting}}, $answer;
        $self->after($asked{wait_ms} / 1000, $answer);
        return;
    }
    if ($path eq '/log-append') {
        my $offset = @{$log->{records}};
        my $record = substr($request->{body}, 4);
        if (($asked{topic} // '') =~ /^keyed\./) {
            my $size = ord substr($record, 0, 1);
            push @{$log->{records}}, [substr($record, 1, $size), substr($record, 1 + $size)];
        } else { push @{$log->{records}}, ['', $record] }
        $_->() for splice @{$log->{waiting}};
        return $reply->(200, qq({"offset":$offset,"end":) . ($offset + 1) . '}');
    }
    if ($path eq '/log-join') {
        my ($member) = $request->{body} =~ /"member":"([^"]*)"/;
        my ($ttl) = $request->{body} =~ /"ttl_ms":(\d+)/;
        my ($topics) = $request->{body} =~ /"topics":\[([^\]]*)\]/;
        my @topics = $topics =~ /"([^"]*)"/g;
        my $group = $self->{store}{group} //= {members => {}, generation => 0, owners => {}};
        $group->{topics} = \@topics;
        my $before = join ',', sort keys %{$group->{members}};
        $group->{members}{$member} = now() + $ttl / 1000;
        $self->deal($group, $before);
        my @rows = map { my ($t, $p) = split m{/}; qq(["$t",$p,0]) }
            sort grep { $group->{owners}{$_} eq $member } keys %{$group->{owners}};
        return $reply->(200, qq({"generation":$group->{generation},"parts":[) . join(',', @rows) . ']}');
    }
    if ($path eq '/log-leave') {
        my ($member) = $request->{body} =~ /"member":"([^"]*)"/;
        if (my $group = $self->{store}{group}) {
            my $before = join ',', sort keys %{$group->{members}};
            delete $group->{members}{$member};
            $self->deal($group, $before);
        }
        return $reply->(200, '{}');
    }
    if ($path eq '/log-owners') {
        my $group = $self->{store}{group} // {owners => {}};
        my @rows = map { my ($t, $p) = split m{/}; qq(["$t",$p,"$group->{owners}{$_}",0]) }
            sort keys %{$group->{owners}};
        return $reply->(200, '{"rows":[' . join(',', @rows) . ']}');
    }
    return $reply->(404, '{}');
}

sub deal {
    my ($self, $group, $before) = @_;
    for (keys %{$group->{members}}) { delete $group->{members}{$_} if $group->{members}{$_} < now() }
    my @members = sort keys %{$group->{members}};
    return if join(',', @members) eq $before && %{$group->{owners}};
    ++$group->{generation};
    my $count = 0;
    $group->{owners} = {};
    for my $topic (@{$group->{topics}}) {
        for my $part (0 .. 11) {
            $group->{owners}{"$topic/$part"} = $members[$count++ % @members] if @members;
        }
    }
}

sub encode64 {
    my ($bytes) = @_;
    my $text = pack('u', $bytes);
    $text =~ s/^.//mg;
    $text =~ s/\n//g;
    $text =~ tr#` -_#AA-Za-z0-9+/#;
    my $padding = (3 - length($bytes) % 3) % 3;
    substr($text, -$padding) = '=' x $padding if $padding;
    return $text;
}

# --- replicas ---------------------------------------------------------------

# Starts a replica: $of{handle}->($link, $request) answers requests.
sub start_replica {
    my ($self, %of) = @_;
    my $replica = {%of, runs => [], links => []};
    $self->listen_on($of{port}, sub {
        my ($socket) = @_;
        my $link = $self->add_link($socket,
            on_data => sub {
                my ($link) = @_;
                while (!$link->{busy}) {
                    my $request = take_message(\$link->{in}) or last;
                    $of{handle}->($replica, $link, $request);
                }
            },
            on_end => sub { $of{left}->($replica, @_) if $of{left} });
        push @{$replica->{links}}, $link;
    });
    return $replica;
}

sub signed {
    my ($id, $body) = @_;
    my $sum = 0;
    $sum = ($sum * 31 + ord) % 4294967291 for split //, $body;
    return {'X-Request-Id' => $id, 'X-Response-Signature' => sprintf('%08x', $sum)};
}

# --- nodes --------------------------------------------------------------------

sub settings_text {
    my ($self, $name, $store_port, $ports) = @_;
    return <<"TOML";
[gateway]
name = "$name"
failure_domain = "z"
caller_address = "127.0.0.1:$ports->[0]"
readiness_address = "127.0.0.1:$ports->[1]"
peer_address = "127.0.0.1:$ports->[2]"
metrics_address = "127.0.0.1:$ports->[3]"
stop_limit = "8s"

[store]
address = "127.0.0.1:$store_port"
leaving_serves = "2000ms"
replica_heartbeat = "1200ms"

[second_sends]
ratio = "0.2"
slack = "58"
window = "10s"

[leases]
lease = "2s"
fences_checked = true
TOML
}

sub start_node {
    my ($self, $name, $store_port, $ports) = @_;
    my $file = "$self->{work}/$name.toml";
    open my $out, '>', $file or die "$file: $!";
    print $out $self->settings_text($name, $store_port, $ports);
    close $out;
    my $pid = fork // die "fork: $!";
    if ($pid == 0) {
        open STDIN, '<', '/dev/null';
        open STDOUT, '>>', "$self->{work}/$name.log";
        open STDERR, '>>', "$self->{work}/$name.err";
        $^F = 2;
        POSIX::close($_) for 3 .. 1023;
        $ENV{CAMPHORPOINT_BOOT} = $file;
        { no warnings 'exec'; exec $self->{program}, 'serve' }
        POSIX::_exit(127);
    }
    $self->{nodes}{$name} = {pid => $pid, ports => $ports, name => $name};
    return $self->{nodes}{$name};
}

# How a node's process has ended; undef while it runs.
sub node_end {
    my ($self, $node) = @_;
    return $node->{end} if defined $node->{end};
    my $got = waitpid($node->{pid}, POSIX::WNOHANG());
    $node->{end} = $? if $got == $node->{pid};
    return $node->{end};
}

sub end_nodes {
    my ($self) = @_;
    for my $node (values %{$self->{nodes}}) {
        next if defined $self->node_end($node);
        kill 'CONT', $node->{pid};
        kill 'KILL', $node->{pid};
        waitpid($node->{pid}, 0);
        $node->{end} = $?;
    }
}

sub await_ready {
    my ($self, $node, $seconds) = @_;
    my ($ready, $asked) = (0, 0);
    return $self->run_until($seconds, sub {
        if (!$ready && now() > $asked + 0.1) {
            $asked = now();
            my $link = $self->connect_to($node->{ports}[1], on_data => sub {
                $ready = 1 if $_[0]{in} =~ m{^HTTP/1.1 200};
                $self->close_link($_[0]) if $_[0]{in} =~ /\r\n\r\n/;
            });
            $self->send_bytes($link, "GET /readiness HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
        }
        return $ready;
    });
}

# Sends bytes on a new connection; ->{answers} gathers what comes back.
sub call {
    my ($self, $port, $bytes, %of) = @_;
    my $call = {answers => [], sent => now(), ended => undef};
    my $take = sub {
        my ($link, $ended) = @_;
        while (my $answer = take_message(\$link->{in}, $ended)) {
            my ($status) = $answer->{first} =~ m{^HTTP/1\.\d (\d+)};
            $answer->{status} = $status;
            $answer->{at} = now();
            push @{$call->{answers}}, $answer;
            $of{on_answer}->($call, $answer) if $of{on_answer};
        }
    };
    $call->{link} = $self->connect_to($port,
        on_data => sub { $take->($_[0], 0) },
        on_end => sub { $take->($_[0], $_[1] eq 'closed'); $call->{ended} = $_[1]; $call->{left} = $_[0]{in} });
    $self->send_bytes($call->{link}, $bytes);
    return $call;
}

1;
