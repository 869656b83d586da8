# A requester behind an ordinary network: segments of 1,460 bytes and a small receive
# buffer. It sends one request and reads the answer at a steady pace.
#
# Usage: slow-requester.pl HOST PORT PATH ID TIME_LIMIT_MS BYTES_PER_S
# Prints: STATUS BYTES_OF_BODY LENGTH_STATED HOW MS; the length is "none" where the answer
# states none and has no chunks, and HOW is "closed" or "reset" for how the channel ended,
# or "whole" once the stated length was read.
use strict;
use warnings;
use Socket qw(:all);
use Time::HiRes qw(time sleep);

my ($host, $port, $path, $id, $limit_ms, $per_s) = @ARGV;
my $SEGMENT = 1460;
my $RECEIVE_BUFFER = 32 * 1024;
my $STEP_S = 0.02;
my $READ_BYTES = 8192;

socket(my $sock, PF_INET, SOCK_STREAM, getprotobyname('tcp') || 6) or die $!;
setsockopt($sock, IPPROTO_TCP, TCP_MAXSEG, pack('i', $SEGMENT)) or die $!;
setsockopt($sock, SOL_SOCKET, SO_RCVBUF, pack('i', $RECEIVE_BUFFER)) or die $!;
connect($sock, pack_sockaddr_in($port, inet_aton($host))) or die $!;
my $began = time;
syswrite $sock,
  "POST $path HTTP/1.1\r\nHost: a.example\r\n"
  . "X-Jujubecroft-Request-Id: $id\r\nX-Jujubecroft-Deadline-Ms: $limit_ms\r\n"
  . "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n";

my $head = '';
until ($head =~ /\r\n\r\n/) {
    my $read = sysread $sock, my ($part), 1;
    unless ($read) { print "0 0 0 no-answer ", int(1000 * (time - $began)), "\n"; exit }
    $head .= $part;
}
my ($status) = $head =~ m{^HTTP/1\.1 (\d+)};
my ($length) = $head =~ /\r\nContent-Length: (\d+)/i;
die 'chunks' if $head =~ /\r\nTransfer-Encoding:/i;
my $bytes = 0;
my $how = 'whole';
my $from = time;
while (!defined $length || $bytes < $length) {
    my $due = int((time - $from) * $per_s) - $bytes;
    if ($due <= 0) { sleep $STEP_S; next }
    $due = $READ_BYTES if $due > $READ_BYTES;
    $due = $length - $bytes if defined $length && $due > $length - $bytes;
    my $read = sysread $sock, my ($part), $due;
    unless ($read) { $how = defined $read ? 'closed' : 'reset'; last }
    $bytes += $read;
}
print "$status $bytes ", $length // 'none', " $how ", int(1000 * (time - $began)), "\n";
