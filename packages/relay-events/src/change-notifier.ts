/** Holds long polls of other hosts until platform objects change. */
export interface ChangeNotifier {
  /**
   * Resolves when one of the wanted kinds (pairs of kind and revision) changed after its revision, or after `waitMs`
   * milliseconds.
   */
  readonly waitForChanges: (wanted: readonly (readonly [string, number])[], waitMs: number) => Promise<void>;
  /** Checks the pending long polls after `RELAY_TIMING.notifyDelayMs`, so that changes made close together go out in one page. */
  readonly notifyChanged: () => void;
}
