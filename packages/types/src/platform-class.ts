import type { PLATFORM_CLASSES } from './platform-classes.js';

/** Name of a call class. */
export type PlatformClass = keyof typeof PLATFORM_CLASSES;
