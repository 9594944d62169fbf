/** A change of one declaration file. */
export interface FileChange {
  readonly file: string;
  readonly change: 'added' | 'changed' | 'removed';
}
