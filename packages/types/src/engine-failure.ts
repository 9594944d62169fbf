/** Reports that an engine crashed or could not be reached. */
export interface EngineFailure {
  readonly pool: string;
  readonly cell: number;
  readonly engine: string;
  /** False when the engine could not be reached. */
  readonly crashed: boolean;
  readonly bootId?: string | undefined;
}
