//! Draws losses and events over time as an SVG image.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::{Context, Result};
use plotters::prelude::*;

use crate::loss_table;

/// Width and height of the image.
const PAGE_SIZE_PX: (u32, u32) = (1_200, 700);
/// Height of the part that shows events.
const EVENTS_HEIGHT_PX: u32 = 220;
/// Width of the area for axis labels.
const LABEL_WIDTH_PX: u32 = 60;
/// Font size of event names.
const LABEL_SIZE_PX: u32 = 12;
/// Vertical offset of an event's name from the marks of its row, in rows.
const LABEL_OFFSET_ROWS: f64 = 0.8;

/// Draws the losses per second, stacked by cause, above the events on the same time axis.
///
/// # Errors
///
/// Fails when the file cannot be written; names it.
pub fn draw(table: &loss_table::LossTable, path: &Path) -> Result<()> {
    let root = SVGBackend::new(path, PAGE_SIZE_PX).into_drawing_area();
    let failed = || format!("cannot draw {}", path.display());
    root.fill(&WHITE).with_context(failed)?;
    let (upper, lower) = root.split_vertically(PAGE_SIZE_PX.1 - EVENTS_HEIGHT_PX);
    draw_losses(table, &upper).with_context(failed)?;
    draw_events(table, &lower).with_context(failed)?;
    root.present().with_context(failed)
}

fn draw_losses(
    table: &loss_table::LossTable,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> Result<()> {
    let causes = table.by_second();
    let mut sums: BTreeMap<i64, u64> = BTreeMap::new();
    for (second, count) in causes.values().flatten() {
        *sums.entry(*second).or_default() += count;
    }
    let max_count = sums.values().copied().max().unwrap_or(1);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .caption("Requests refused or failed per second, by cause", ("sans-serif", 18))
        .x_label_area_size(30)
        .y_label_area_size(LABEL_WIDTH_PX)
        .build_cartesian_2d(0.0..table.duration_s().max(1.0), 0..max_count)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    let mut below: BTreeMap<i64, u64> = BTreeMap::new();
    for (number, (cause, seconds)) in causes.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let bars: Vec<_> = seconds
            .iter()
            .map(|(second, count)| {
                let base = below.entry(*second).or_default();
                let bottom = *base;
                *base += count;
                let corners = [(*second as f64, bottom), (*second as f64 + 1.0, *base)];
                Rectangle::new(corners, colour.filled())
            })
            .collect();
        chart
            .draw_series(bars)?
            .label(*cause)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

fn draw_events(
    table: &loss_table::LossTable,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> Result<()> {
    let names = loss_table::CONTEXT_EVENTS;
    let row = |name: &str| names.iter().position(|other| *other == name).unwrap_or(0);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(20)
        .y_label_area_size(LABEL_WIDTH_PX)
        .build_cartesian_2d(0.0..table.duration_s().max(1.0), 0.0..names.len() as f64)?;
    chart.configure_mesh().y_labels(0).draw()?;
    let labels = names.iter().enumerate().map(|(row, name)| {
        Text::new(*name, (0.0, row as f64 + LABEL_OFFSET_ROWS), ("sans-serif", LABEL_SIZE_PX))
    });
    chart.draw_series(labels)?;
    let marks = table.events.iter().map(|event| {
        let colour = Palette99::pick(row(&event.name)).to_rgba();
        Circle::new((event.at, row(&event.name) as f64), 3, colour.filled())
    });
    chart.draw_series(marks)?;
    Ok(())
}
