/** Life of a daemon process. */
export type { DaemonSignal } from './daemon-signal.js';
export type { HeldSignals } from './held-signals.js';
export { holdSignals } from './hold-signals.js';
export { runDaemon } from './run-daemon.js';
export type { RunningDaemon } from './running-daemon.js';
