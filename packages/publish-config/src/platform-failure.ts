/** A step that failed because the platform is unavailable. */
export interface PlatformFailure {
  readonly kind: 'unavailable';
  readonly detail: string;
}
