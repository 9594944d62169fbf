import type { NodeMesh } from '@laburnumshift/types';

/** Meshes of one process that call each other directly; requests and replies are encoded and counted. */
export interface MemoryNet {
  readonly createMesh: (address: string) => NodeMesh;
  /** Frames sent so far by type, requests and replies. */
  readonly getMessages: () => ReadonlyMap<string, number>;
  readonly getBytes: () => ReadonlyMap<string, number>;
}
