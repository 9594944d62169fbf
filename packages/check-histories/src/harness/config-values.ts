/** Values of the configuration that operators change. */
export interface ConfigValues {
  readonly weightVersion: string;
  readonly olderShare: number;
  readonly accountWeight: number;
}
