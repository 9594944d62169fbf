/** The parts of an answer's head that decide how its body ends. */
export interface ResponseHeadFields {
  readonly status: number;
  readonly minorVersion: number;
  /** Values of all length and transfer coding fields, in their order. */
  readonly lengths: readonly string[];
  readonly codings: readonly string[];
}
