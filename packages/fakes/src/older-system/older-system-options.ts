/** Options of a fake older system. */
export interface OlderSystemOptions {
  readonly ip?: string | undefined;
  readonly port?: number | undefined;
  /** Runs by key, to be shared with a fake service that does the work for both systems. */
  readonly runs?: Map<string, number> | undefined;
  /** Time between two tokens, milliseconds. */
  readonly tokenMs?: number | undefined;
}
