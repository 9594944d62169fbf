/** Share of traffic that stays with the older system, for one service. */
export interface CutoverConfig {
  /** Base URL of the older system. */
  readonly olderUrl: string;
  /** Share kept by the older system, 0 to 1, split by a stable hash of account and conversation. */
  readonly olderShare: number;
}
