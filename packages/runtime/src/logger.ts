/** Logs in JSON Lines format. */
import {Logger as TsLogger} from 'tslog';

/** Structured fields of a log line. Never pass secrets. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Logs one JSON object per line. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Severities, least severe first. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

/** The minimum severity that is logged. */
export type LogLevel = (typeof logLevels)[number];

const tslogLevels: Readonly<Record<LogLevel, number>> = {debug: 2, info: 3, warn: 4, error: 5};

/** Process name, level and destination of log lines; the default destination is standard error. */
export interface LoggerOptions {
  readonly process: string;
  readonly level: LogLevel;
  /** Receives each line, without its line feed. */
  readonly write?: (line: string, level: LogLevel) => void;
}

/** Creates a logger that writes flat JSON objects with `time`, `level`, `process` and `message`. */
export function createLogger(options: LoggerOptions): Logger {
  const write =
    options.write ??
    ((line: string) => {
      process.stderr.write(`${line}\n`);
    });
  // Source positions are disabled because tslog would capture a stack trace for each line.
  const logger = new TsLogger<LogFields>({
    type: 'hidden',
    minLevel: tslogLevels[options.level],
    hideLogPositionForProduction: true,
    overwrite: {
      addMeta: (fields, _levelId, levelName) => ({
        ...fields,
        _meta: {level: levelName} as never,
      }),
    },
  });
  logger.attachTransport((record) => {
    const {_meta, message, ...fields} = record as unknown as {
      _meta: {level: string};
      message: string;
    };
    const level = _meta.level.toLowerCase() as LogLevel;
    const time = new Date().toISOString();
    write(JSON.stringify({time, level, process: options.process, message, ...fields}), level);
  });
  return {
    debug: (message, fields) => void logger.debug({message, ...fields}),
    info: (message, fields) => void logger.info({message, ...fields}),
    warn: (message, fields) => void logger.warn({message, ...fields}),
    error: (message, fields) => void logger.error({message, ...fields}),
  };
}

/** A logger that writes nothing. */
export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
