/** What a host knows of the weights under which the memory of a run was made. Versions are those of the run's model. */
export interface RunWeightsEvidence {
  /** Version that the run was sent under; `undefined` when its engine states none. */
  readonly version: number | undefined;
  /** The answer, the registration or an order mark of the engine named another version since the run was sent. */
  readonly hasOtherVersion: boolean;
  /** Report that was read after the last part of the memory was copied; `undefined` when the engine gave none. */
  readonly report: { readonly version: number | undefined; readonly isExecutingOrder: boolean } | undefined;
  /** Newest published version; `undefined` when the host's copy is not recent. */
  readonly publishedVersion: number | undefined;
}
