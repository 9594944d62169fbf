/** Signals that a daemon handles. */
export type DaemonSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';
