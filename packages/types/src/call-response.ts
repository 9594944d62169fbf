/** Complete HTTP response of a plain service or of the older system. */
export interface CallResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}
