/** Keeps a host from relying on a configuration that other hosts know to be replaced. */
export { createConfigFloor } from './create-config-floor.js';
export type { ConfigFloor } from './config-floor.js';
export type { ConfigFloorOptions } from './config-floor-options.js';
