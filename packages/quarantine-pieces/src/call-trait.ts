/** Something that a call may have in common with other calls, and that may crash servers. */
export interface CallTrait {
  /** Model and id of a prompt piece, or a fingerprint of the whole request: see `listCallTraits`. */
  readonly trait: string;
  /** Position of the piece in the prompt, from 0; -1 for the last piece and for a fingerprint, which stand for the request itself. */
  readonly position: number;
}
