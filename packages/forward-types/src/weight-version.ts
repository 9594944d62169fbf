/** A weight version that was published for a model. */
export interface WeightVersion {
  readonly model: string;
  readonly version: number;
}
