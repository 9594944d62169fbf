/** Options of a fake plain service. */
export interface FakeServiceOptions {
  /** Name that the service puts into its answers. */
  readonly name?: string | undefined;
  readonly ip?: string | undefined;
  readonly port?: number | undefined;
  /** Counts of runs by key, to be shared by instances of one service. */
  readonly runs?: Map<string, number> | undefined;
}
