/**
 * What one probe of the engine that had a run has shown.
 *
 * - `refused`: no process listens at its address.
 * - `replaced`: another process answers at its address.
 * - `alive`: the same process answers.
 * - `silent`: nothing answers, which a sound engine does for a second or so now and then.
 */
export type SourceEvidence = 'refused' | 'replaced' | 'alive' | 'silent';
