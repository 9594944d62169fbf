import type { PLATFORM_CALL_CLASSES } from './platform-call-classes.js';

/** Name of a class of platform calls. */
export type PlatformCallClass = keyof typeof PLATFORM_CALL_CLASSES;
