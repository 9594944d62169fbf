/** Counters of a mesh, by name. */
export interface MeshCounts {
  readonly add: (name: string, amount?: number) => void;
  readonly get: () => Readonly<Record<string, number>>;
}
