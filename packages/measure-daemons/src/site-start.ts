/** Addresses of a started site. */
export interface SiteStart {
  readonly platformUrl: string;
  /** Address of each fake by the declared address. */
  readonly addresses: Readonly<Record<string, string>>;
}
