// SIGHUP ends a process that does not listen for it. While the gateway starts, there is
// nothing to reload: it reads its settings later, and again at an interval.
process.on('SIGHUP', () => undefined);
