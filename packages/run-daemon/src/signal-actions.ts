import type { DaemonSignal } from './daemon-signal.js';
import type { DaemonState } from './daemon-state.js';
import type { SignalAction } from './signal-action.js';

/** Action for each signal in each state. A repeated stop signal shortens no stop: only SIGKILL cuts calls in progress. */
export const SIGNAL_ACTIONS: Readonly<Record<DaemonState, Readonly<Record<DaemonSignal, SignalAction>>>> = {
  starting: { SIGTERM: 'stop', SIGINT: 'stop', SIGHUP: 'keepSettings' },
  serving: { SIGTERM: 'stop', SIGINT: 'stop', SIGHUP: 'keepSettings' },
  stopping: { SIGTERM: 'continueStop', SIGINT: 'continueStop', SIGHUP: 'keepSettings' },
};
