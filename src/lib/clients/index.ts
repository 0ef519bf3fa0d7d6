export * from "./engine.js";
export * from "./http.js";
export * from "./objectStore.js";
export * from "./tableService.js";
export * from "./vmList.js";
