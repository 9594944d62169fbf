/**
 * What follows an answer to a request to copy a run.
 *
 * - `stop`: the copy is there, so the run is stopped and the rest copied.
 * - `again`: the same request is sent again.
 * - `other-target`: another target is tried.
 * - `at-target`, `at-source`: the run has stopped, and that engine has its memory.
 * - `stopped`: the engine does not run the call any more; the target has what was copied before.
 * - `give-up`: the run is left where it is; whether it has stopped is not known.
 */
export type MoveStep = 'stop' | 'again' | 'other-target' | 'at-target' | 'at-source' | 'stopped' | 'give-up';
