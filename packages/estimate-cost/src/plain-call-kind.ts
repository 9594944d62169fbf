/** What calls of a plain service have in common that take about equally long. */
export interface PlainCallKind {
  readonly service: string;
  readonly route: string;
  readonly method: string;
  /** Size of the request body. */
  readonly bodyBytes: number;
}
