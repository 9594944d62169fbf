/** An engine that may get the memory of a run. */
export interface BackupCandidate {
  readonly id: string;
  /** Address of the machine that the engine runs on, without a port. */
  readonly machine: string;
  readonly failureDomain: string;
  /** Weight version of the run's model; `undefined` when the engine does not state it. */
  readonly version: number | undefined;
  /** Tokens held in the engine's memory by known calls. */
  readonly heldTokens: number;
  /** The engine gets no new calls now, or its calls failed recently. */
  readonly isAtRisk: boolean;
  /** Copies of this host's runs that the engine holds. */
  readonly copies: number;
}
