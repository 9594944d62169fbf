/** States of a daemon. It stops from the first stop signal on, also when its start has not ended. */
export type DaemonState = 'starting' | 'serving' | 'stopping';
