/** What an engine did for one request identity, kept for the whole life of the process. */
export interface EngineAuditEntry {
  starts: number;
  resumes: number;
  outputTokens: number;
  promptTokens: number;
  readonly startedAtMs: number[];
  finished: boolean;
}

/** The record of all starts and resumes. It survives the simulated death of the engine. */
export class EngineAudit {
  readonly #requests = new Map<string, EngineAuditEntry>();

  started(requestId: string, promptTokens: number, nowMs: number): void {
    const entry = this.#entry(requestId);
    entry.starts += 1;
    entry.promptTokens = promptTokens;
    entry.startedAtMs.push(nowMs);
  }

  resumed(requestId: string): void {
    this.#entry(requestId).resumes += 1;
  }

  progressed(requestId: string, outputTokens: number, finished: boolean): void {
    const entry = this.#entry(requestId);
    entry.outputTokens = Math.max(entry.outputTokens, outputTokens);
    entry.finished ||= finished;
  }

  entries(): Record<string, EngineAuditEntry> {
    return Object.fromEntries(this.#requests);
  }

  #entry(requestId: string): EngineAuditEntry {
    const known = this.#requests.get(requestId);
    if (known !== undefined) {
      return known;
    }
    const entry = {
      starts: 0,
      resumes: 0,
      outputTokens: 0,
      promptTokens: 0,
      startedAtMs: [],
      finished: false,
    };
    this.#requests.set(requestId, entry);
    return entry;
  }
}
