/** Limits of the fake platform; absent fields take the defaults of the design page. */
export interface FakePlatformOptions {
  /** Writes and deletions per second, 400 by default. */
  readonly writesPerSecond?: number | undefined;
  /** Reads per second, 2,000 by default. Listings, host lists and waiting watches count as reads. */
  readonly readsPerSecond?: number | undefined;
  /** Requests to the weight store per second, 4 by default. */
  readonly weightsPerSecond?: number | undefined;
  /** Size of every weight version, bytes. */
  readonly weightBytes?: number | undefined;
  /** Changes kept for watches of one kind, 1,000 by default. */
  readonly historyLimit?: number | undefined;
  /** Delay until a change of the host list can be seen, milliseconds; 0 by default. */
  readonly hostLagMs?: number | undefined;
  /** Port on 127.0.0.1; 0, the default, takes a free one. */
  readonly port?: number | undefined;
}
