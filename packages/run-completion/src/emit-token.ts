/**
 * Receives the tokens of a run in order, without gaps, from the job's start offset on.
 *
 * @param finishReason set on the last token only
 */
export type EmitToken = (text: string, finishReason: 'stop' | 'length' | null) => void;
