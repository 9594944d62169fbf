/** The traits of calls that servers have recently run without a crash. */
export interface SurvivalLog {
  /** Records a call that was begun at `beganAtMs`, monotonic milliseconds. */
  readonly addSurvival: (trait: string, beganAtMs: number) => void;
  /** Returns when the newest such call was begun; `-Infinity` without any. */
  readonly getBeginMs: (trait: string) => number;
}
