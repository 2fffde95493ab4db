import type { Result } from 'ts-results-es';
import { z } from 'zod';
import type { ServiceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { LogLevel } from '../logging.js';
import { addressField, metricsPortField, readSections } from './gatewaySettings.js';
import type { SettingsError } from './readSettings.js';

export interface RankerSettings {
  readonly processId: string;
  readonly availabilityZone: string;
  readonly logLevel: LogLevel;
  /** Address of this process for links between rankers, `ip:port`. */
  readonly linkAddress: string;
  /** Port of the metrics and state dump endpoints. */
  readonly metricsPort: number;
  readonly storeAddress: string;
  /** Engine on the same host, `ip:port`. */
  readonly engineAddress: string;
  readonly service: ServiceId;
}

const rankerSchema = z.object({
  process: z.object({
    id: z.string().min(1),
    availability_zone: z.string().min(1),
    log_level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  }),
  listen: z.object({ links: addressField, metrics_port: metricsPortField }),
  store: z.object({ address: addressField }),
  engine: z.object({ address: addressField, service: z.string().min(1) }),
});

/**
 * Reads and validates the settings of a ranker.
 *
 * @param file - Path of the INI file
 * @returns Settings, or all errors with file, `section.key` and the expected value
 */
export function readRankerSettings(file: string): Result<RankerSettings, SettingsError[]> {
  return readSections(file, rankerSchema).map(({ process, listen, store, engine }) => ({
    processId: process.id,
    availabilityZone: process.availability_zone,
    logLevel: process.log_level,
    linkAddress: listen.links,
    metricsPort: listen.metrics_port,
    storeAddress: store.address,
    engineAddress: engine.address,
    service: toId<ServiceId>(engine.service),
  }));
}
