/** Authenticated links between nodes: MessagePack frames over WebSocket. */
export { createNodeMesh } from './create-node-mesh.js';
export type { MeshLimits } from './mesh-limits.js';
export type { NodeMeshOptions } from './node-mesh-options.js';
