/** A request to a plain service or to the older system. */
export interface CallRequest {
  readonly method: string;
  /** Path below the service, with the query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}
