/** Log functions of one component. The message is one short sentence; values go into the fields. */
export interface Logger {
  readonly debug: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
  readonly info: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
  readonly warn: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
  readonly error: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
  /** Sets the level of this component and of loggers created later. */
  readonly setLevel: (level: 'trace' | 'debug' | 'info' | 'warn' | 'error') => void;
}
