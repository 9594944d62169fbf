/** The home's belief about a link, corrected by finished transfers. */
export interface LinkView {
  readonly getRateScale: (nowMs: number) => number;
  readonly observeTransfer: (plannedMs: number, tookMs: number, nowMs: number) => void;
}
