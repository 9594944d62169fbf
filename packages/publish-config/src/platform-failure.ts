/** Result of a step that failed because the platform, or a stored object, cannot be read or written. */
export interface PlatformFailure {
  readonly kind: 'unavailable';
  readonly detail: string;
}
