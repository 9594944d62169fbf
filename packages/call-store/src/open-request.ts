/** A request whose answer is opened. */
export interface OpenRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path and query. */
  readonly path: string;
  readonly body?: unknown;
  /** Time until the head of the answer, milliseconds. */
  readonly limitMs: number;
  /** For a peer that sends interim answers (status 102) while it works: they replace the limit. */
  readonly progress?:
    | {
        /** Longest pause after an interim answer, milliseconds. */
        readonly silenceMs: number;
        /** Time until the head of the answer, whatever the peer sends, milliseconds. */
        readonly deadlineMs: number;
      }
    | undefined;
  readonly signal?: AbortSignal | undefined;
}
