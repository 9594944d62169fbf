import type { PLATFORM_CLASSES } from './platform-classes.js';

/** Name of a class of platform calls. */
export type PlatformClass = keyof typeof PLATFORM_CLASSES;
