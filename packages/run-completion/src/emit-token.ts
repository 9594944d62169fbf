/**
 * Receives the tokens of a run in order and without gaps, beginning at the start offset of the request.
 *
 * @param finishReason set on the last token only
 */
export type EmitToken = (text: string, finishReason: 'stop' | 'length' | null) => void;
