import type { Document } from 'yaml';
import { isMap, isNode, isScalar, isSeq, LineCounter, parseDocument } from 'yaml';

export type FieldPath = readonly (string | number)[];

/** An issue with its position, but without the file or section that contains it. */
export interface LocatedIssue {
  readonly line: number;
  readonly column: number;
  readonly field: string;
  readonly expected: string;
  readonly advice: string;
}

export interface Position {
  readonly line: number;
  readonly column: number;
}

/** Parsed YAML that knows the position of each value. Parsing never throws; syntax errors become issues. */
export class YamlSource {
  readonly value: unknown;
  readonly issues: readonly LocatedIssue[];
  private readonly document: Document;
  private readonly lineCounter = new LineCounter();

  constructor(text: string) {
    this.document = parseDocument(text, { lineCounter: this.lineCounter, prettyErrors: false });
    const issues = this.document.errors.map((error) => this.syntaxIssue(error.pos[0], error.message));
    this.issues = issues;
    if (issues.length > 0) {
      return;
    }
    try {
      this.value = this.document.toJS();
    } catch (cause) {
      // An unresolved alias, or alias expansion beyond the parser's limit.
      this.issues = [this.syntaxIssue(0, cause instanceof Error ? cause.message : 'unreadable YAML')];
    }
  }

  /** Returns the position of a value, or of the innermost existing value that encloses it. */
  positionOf(path: FieldPath): Position {
    let node: unknown = this.document.contents;
    let offset = startOffset(node) ?? 0;
    for (const step of path) {
      node = childOf(node, step);
      offset = startOffset(node) ?? offset;
    }
    return this.positionAt(offset);
  }

  /** Returns the position of a key in a mapping, or of the mapping if the key is not found. */
  positionOfKey(path: FieldPath, key: string): Position {
    let node: unknown = this.document.contents;
    for (const step of path) {
      node = childOf(node, step);
    }
    const pair = isMap(node)
      ? node.items.find((item) => isScalar(item.key) && String(item.key.value) === key)
      : undefined;
    const offset = startOffset(pair?.key);
    return offset === undefined ? this.positionOf(path) : this.positionAt(offset);
  }

  positionAt(offset: number): Position {
    const { line, col } = this.lineCounter.linePos(offset);
    return { line: Math.max(line, 1), column: Math.max(col, 1) };
  }

  private syntaxIssue(offset: number, detail: string): LocatedIssue {
    return {
      ...this.positionAt(offset),
      field: '(document)',
      expected: 'valid YAML',
      advice: `correct the syntax: ${detail.replaceAll('\n', ' ')}`,
    };
  }
}

function childOf(node: unknown, step: string | number): unknown {
  return isMap(node) || isSeq(node) ? node.get(step, true) : undefined;
}

function startOffset(node: unknown): number | undefined {
  return isNode(node) ? node.range?.[0] : undefined;
}

/** Formats a path, for example `topUps[0].amountMicros`. */
export function formatPath(path: FieldPath): string {
  const text = path.map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`)).join('');
  return text.startsWith('.') ? text.slice(1) : text;
}
