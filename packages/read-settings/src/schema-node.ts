/** The JSON Schema keywords that the generated documentation uses. */
export interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
  readonly anyOf?: readonly SchemaNode[];
  readonly enum?: readonly string[];
  readonly const?: unknown;
  readonly format?: string;
  readonly minLength?: number;
  readonly minItems?: number;
  readonly minimum?: number;
  readonly exclusiveMinimum?: number;
  readonly maximum?: number;
}
