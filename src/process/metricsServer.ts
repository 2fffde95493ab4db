import type { Server, ServerResponse } from 'node:http';
import polka from 'polka';
import { connectionFaults } from '../connection/connectionFaults.js';
import { createControlServer } from './controlServer.js';
import type { Metrics } from './metrics.js';
import { ProcessUsage } from './processUsage.js';

/**
 * Starts an HTTP server for metrics as text (`/metrics`) and the process state as JSON (`/dump`).
 *
 * @param options - Listen address, metrics and dump function
 * @returns The server, which may not be listening yet
 */
export function startMetricsServer(options: {
  readonly host: string;
  readonly port: number;
  readonly metrics: Metrics;
  dump(): unknown;
}): Server {
  const server = createControlServer();
  const usage = new ProcessUsage();
  server.once('close', () => {
    usage.close();
  });
  polka({ server })
    .get('/metrics', (_request: unknown, response: ServerResponse) => {
      response.setHeader('Content-Type', 'text/plain');
      response.end(formatMetrics(options.metrics) + formatFaults() + formatUsage(usage));
    })
    .get('/dump', (_request: unknown, response: ServerResponse) => {
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify(options.dump()));
    })
    .listen(options.port, options.host);
  return server;
}

/**
 * Formats metrics as one `name value` line each; latencies are in milliseconds.
 *
 * @param metrics - Metrics of the process
 * @returns Text with a trailing newline
 */
export function formatMetrics(metrics: Metrics): string {
  const { counters, latencies } = metrics.summarize();
  const lines: string[] = [];
  for (const [name, value] of Object.entries(counters)) {
    lines.push(`parsleyfold_${name}_total ${value}`);
  }
  for (const [name, latency] of Object.entries(latencies)) {
    for (const [field, value] of Object.entries(latency)) {
      lines.push(`parsleyfold_${name}_${field} ${value}`);
    }
  }
  return `${lines.join('\n')}\n`;
}

function formatFaults(): string {
  const lines = connectionFaults.listCounts();
  return lines
    .map(([fault, count]) => `parsleyfold_connection_faults_${fault}_total ${count}\n`)
    .join('');
}

function formatUsage(usage: ProcessUsage): string {
  const lines = Object.entries(usage.describe());
  return lines.map(([name, value]) => `parsleyfold_process_${name} ${value}\n`).join('');
}
