/** An answer to an operator; text is sent as it is, anything else as JSON. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}
