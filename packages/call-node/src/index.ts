/** Authenticated links between nodes: `ws` frames encoded by `msgpackr`. */
export { createNodeMesh } from './create-node-mesh.js';
export type { MeshLimits } from './mesh-limits.js';
export type { NodeMeshOptions } from './node-mesh-options.js';
