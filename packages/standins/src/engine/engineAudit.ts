/** What an engine did for one request ID since the start of the process. */
export interface EngineAuditEntry {
  starts: number;
  resumes: number;
  outputTokens: number;
  promptTokens: number;
  readonly startedAtMs: number[];
  finished: boolean;
}

/** Records all starts and resumes of requests. It survives a simulated crash of the engine. */
export class EngineAudit {
  readonly #requests = new Map<string, EngineAuditEntry>();

  recordStart(requestId: string, promptTokens: number, nowMs: number): void {
    const entry = this.#entry(requestId);
    entry.starts += 1;
    entry.promptTokens = promptTokens;
    entry.startedAtMs.push(nowMs);
  }

  recordResume(requestId: string): void {
    this.#entry(requestId).resumes += 1;
  }

  recordProgress(requestId: string, outputTokens: number, finished: boolean): void {
    const entry = this.#entry(requestId);
    entry.outputTokens = Math.max(entry.outputTokens, outputTokens);
    entry.finished ||= finished;
  }

  entries(): Record<string, EngineAuditEntry> {
    return Object.fromEntries(this.#requests);
  }

  #entry(requestId: string): EngineAuditEntry {
    const existing = this.#requests.get(requestId);
    if (existing !== undefined) {
      return existing;
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
