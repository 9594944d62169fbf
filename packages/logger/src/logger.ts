/** Log functions of one part. Fields are structured; the message is one short sentence. */
export interface Logger {
  readonly debug: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
  readonly info: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
  readonly warn: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
  readonly error: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
  /** Sets the level of this part and of parts created later. */
  readonly setLevel: (level: 'trace' | 'debug' | 'info' | 'warn' | 'error') => void;
}
