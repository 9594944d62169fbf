/** Split of the traffic of one service between the older system and this one. */
export interface CutoverConfig {
  /** Base URL of the older system. */
  readonly olderUrl: string;
  /** Fraction of the traffic that the older system serves, 0 to 1, selected by a stable hash of account and conversation. */
  readonly olderShare: number;
}
