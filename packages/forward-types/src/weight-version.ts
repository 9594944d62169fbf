/** The newest weights that were named for a model. */
export interface WeightVersion {
  readonly model: string;
  readonly version: number;
}
