/** One change reported by a watch; a null value means deleted. */
export interface PlatformEvent {
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}
