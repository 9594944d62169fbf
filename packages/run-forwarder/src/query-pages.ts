/** Functions that answer a request with a JSON body with JSON, by URL path. They change nothing. */
export type QueryPages = Readonly<
  Record<string, (body: string) => { readonly status: number; readonly text: string }>
>;
