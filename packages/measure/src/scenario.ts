/** A measurement that can be run by name. */
export interface Scenario {
  readonly description: string;
  /** True when equal seeds give equal figures; false when real time is measured. */
  readonly repeatable: boolean;
  readonly run: (seed: number) => unknown;
}
