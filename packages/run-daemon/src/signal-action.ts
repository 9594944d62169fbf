/** What a daemon does on a signal. */
export type SignalAction = 'stop' | 'continueStop' | 'keepSettings';
